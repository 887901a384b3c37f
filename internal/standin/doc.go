// Package standin implements stand-ins, that is simulators, for the external
// systems that borageusher uses: the platform (object API and VM list), the
// rate-limited weight store, a model engine and a plain service. A relay
// simulates faults of the network between two processes. Only tests and the
// quick start use them.
//
// The simulated systems accept faults to inject through POST /admin/fault, and
// the relay through POST /admin/mode, so that scenarios can reproduce the
// failures of the real systems.
//
// # Usage
//
//	standin platform -listen 127.0.0.1:7000
//	standin weights  -listen 127.0.0.1:7001 -rate 7 -at_once 3
//	standin engine   -listen 127.0.0.1:7100 -weights 127.0.0.1:7001 -slots 8
//	standin service  -listen 127.0.0.1:7200
//	standin relay    -listen 127.0.0.1:7300 -from 127.0.0.1:7301 -to 127.0.0.1:7400
package standin
