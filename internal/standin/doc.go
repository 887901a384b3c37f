// Package standin has small stand-ins of the outside systems that borageusher
// meets: the platform (object API, VM list), the rate-limited weight store, a
// model engine and a plain service. Tests and the quick start use them; nothing
// else does.
//
// Each takes faults through POST /admin/fault, so that scenarios can bring
// about the failures that the real systems have.
//
// # Usage
//
//	standin platform -listen 127.0.0.1:7000
//	standin weights  -listen 127.0.0.1:7001 -rate 7 -at_once 3
//	standin engine   -listen 127.0.0.1:7100 -weights 127.0.0.1:7001 -slots 8
//	standin service  -listen 127.0.0.1:7200
//	standin relay    -listen 127.0.0.1:7300 -from 127.0.0.1:7301 -to 127.0.0.1:7400
package standin
