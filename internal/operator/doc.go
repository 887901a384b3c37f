// Package operator implements the program borageusher, the operators' command
// line client. It checks questionnaires, the files in which teams describe their
// services and adapters, generates the configuration from them, shows the
// difference from the accepted one and accepts the new revision. It also shows the state
// of a deployment, drains targets, traces requests through log files and has an entryd
// explain what it would do with a request.
//
// # Usage
//
//	borageusher check tessaro.ini
//	borageusher diff -platform 10.0.0.1:7000 tessaro.ini
//	borageusher accept -platform 10.0.0.1:7000 -revision 4 tessaro.ini
package operator
