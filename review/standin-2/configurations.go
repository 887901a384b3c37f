//go:build review

package main

// plainConfiguration has a safe and an unsafe route to a plain service.
func plainConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "save", "host": "app.example", "path-prefix": "/save/", "kind": "unsafe", "service": "app-api", "max-attempts": 1, "timeout-ms": 2500, "target-latency-ms": 400, "priority": 1},
			{"name": "read", "host": "app.example", "path-prefix": "/read/", "kind": "safe", "service": "app-api", "max-attempts": 2, "timeout-ms": 2500, "target-latency-ms": 400, "priority": 1},
		},
		"services": []map[string]any{{"name": "app-api", "health-path": "/healthz", "max-conns": 190}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
}

// modelsConfiguration has a streaming route to an engine service with two models.
func modelsConfiguration(specs []modelSpec, weightsMB float64, adapterSlots int) map[string]any {
	models := []map[string]any{}
	for _, s := range specs {
		models = append(models, map[string]any{"name": s.name, "weights-mb": s.weightsMB, "load-s": 2.1, "warm-s": 0.4, "adapters": 100, "adapter-mb": s.adapterMB})
	}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "ask", "host": "app.example", "path-prefix": "/ask/", "kind": "streaming", "resumable": true, "sticky": true, "service": "llm-pool", "max-attempts": 2, "timeout-ms": 5000, "target-latency-ms": 1000, "gap-aim-ms": 400, "priority": 1},
		},
		"services": []map[string]any{{"name": "llm-pool", "health-path": "/healthz", "max-conns": 450, "engine": map[string]any{
			"slots": 64, "kv-capacity": 200000, "models": models, "weights-mb": weightsMB, "adapter-slots": adapterSlots, "loads-per-s": 16,
		}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
}
