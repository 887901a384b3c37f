package routing

// LimitedWorkspaces returns the workspaces that have a quota, in no order.
func (c *Configuration) LimitedWorkspaces() []*Workspace {
	var out []*Workspace
	for _, w := range c.workspaces.names {
		if w.Quota.PerSecond > 0 {
			out = append(out, w)
		}
	}
	return out
}
