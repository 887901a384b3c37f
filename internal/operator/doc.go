// Package operator is the program borageusher, the operators' client: it
// checks questionnaires, generates the configuration, shows what would change,
// accepts it, shows the state of the system and starts planned stops.
//
// # Usage
//
//	borageusher check tessaro.ini
//	borageusher diff -platform 10.0.0.1:7000 tessaro.ini
//	borageusher accept -platform 10.0.0.1:7000 -revision 4 tessaro.ini
package operator
