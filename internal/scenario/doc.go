// Package scenario runs the scripted end-to-end tests of the system. The
// scripts in testdata start the real programs as processes on loopback
// addresses, inject failures, and check the responses that callers receive, the
// requests that engines execute and the log lines of the processes.
//
// The scripts are testscript files. Beside testscript's own commands they use:
//
//	start NAME PROGRAM [ARG...]   start a process that logs to NAME.log
//	stop_process NAME [EXITCODE]  send SIGTERM, wait for the exit, check its code
//	kill_process NAME             send SIGKILL and wait for the exit
//	freeze NAME, thaw NAME        send SIGSTOP, SIGCONT
//	signal NAME                   send SIGTERM without waiting
//	ended NAME [EXITCODE]         wait for the exit and check its code
//	mark NAME                     make expect and at_most ignore the lines that
//	                              NAME.log has so far
//	load [-bg NAME] [-callers N] [-calls N] [-for TIME] [-H HEADER]... [-d BODY] URL...
//	                              run concurrent callers that send POST requests
//	                              one after another over persistent connections
//	                              to the first URL whose process is ready; print
//	                              the number of calls by outcome
//	fault ADDRESS JSON            set a stand-in's fault, {} to clear it
//	post ADDRESS/PATH JSON        send a POST to a stand-in's admin path
//	settings NAME entry|target [SECTION.KEY=VALUE...]
//	                              write NAME.ini: defaults with these overrides
//	certificate NAME IP           write NAME.crt and NAME.key, self-signed
//	call [-bg NAME] [-until PATTERN] [-ca FILE] [-X METHOD] [-H HEADER]... [-d BODY] [-pause TIME] [-leave TIME] URL
//	                              send one request; print status, headers and
//	                              body; -until repeats the call until its output
//	                              matches, -pause delays reading the body, -leave
//	                              disconnects after a time
//	call_began NAME               wait for the response header of a background call
//	wait_call NAME                wait for a background call or load and print its
//	                              output
//	ran_as_stated NAME ADDRESS/PATH PATTERN
//	                              check that a journal has exactly one match of
//	                              PATTERN if the background call NAME was answered,
//	                              and none if it was stated as not run
//	streams NAME CALLERS TOKENS KEY MODEL URL
//	                              start concurrent streams, each with its own prompt
//	wait_streams NAME             wait for them; print the number of complete
//	                              responses, of wrong ones (another caller's or of
//	                              a wrong length) and of interrupted ones as
//	                              "whole: N crossed: N broken: N"
//	expect NAME PATTERN [WITHIN]  wait for a match in NAME.log
//	soak ENTRY ENTRY...           inject random faults during calls to the entryds at
//	                              these addresses for $SOAK_FOR, seeded by
//	                              $SOAK_SEED, then compare the responses with the
//	                              requests that the back ends executed
//	at_most N NAME PATTERN        check that PATTERN has at most N matches in NAME.log
//	await [-ca FILE] [-H HEADER]... URL [PATTERN] [WITHIN]
//	                              wait until a GET gets status 200 and a match of PATTERN
//
// Scripts must not use testscript's own stop and kill: stop ends a script as
// passed, and kill handles only processes that testscript started.
//
// Each script has its own network: $NET holds the first three octets of
// loopback addresses that no other script uses. $PLATFORM and $WEIGHTS are addresses
// in it for the stand-ins of the platform and of the weight store. $LONG_WORD is a
// word of 32 KiB. The work directory contains copies of examples/*.ini, whose names
// begin with example-.
//
// # Usage
//
//	go test ./internal/scenario -run 'TestScenarios/path'
package scenario
