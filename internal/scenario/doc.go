// Package scenario runs the scripted scenarios that prove the system's
// promises: scripts in testdata start the real programs as processes on
// loopback addresses, bring about failures, and check what callers, engines and
// logs saw.
//
// The scripts are testscript files. Beside testscript's own commands they use:
//
//	start NAME PROGRAM [ARG...]   start a process; its log goes to NAME.log
//	stop_process NAME [EXITCODE]  SIGTERM, wait for the end, check the exit code
//	kill_process NAME             SIGKILL and wait for the end
//	freeze NAME, thaw NAME        SIGSTOP, SIGCONT
//	signal NAME                   SIGTERM, without waiting
//	ended NAME [EXITCODE]         wait for the end and check the exit code
//	mark NAME                     let expect read NAME.log from here on
//	load [-bg NAME] [-callers N] [-calls N] [-for TIME] [-H HEADER]... [-d BODY] URL...
//	                              callers that call one after another on kept
//	                              connections, at the first URL that is ready;
//	                              the numbers of the outcomes to stdout
//	fault ADDRESS JSON            set a stand-in's fault, {} to clear it
//	post ADDRESS/PATH JSON        call a stand-in's admin path
//	settings NAME entry|target [SECTION.KEY=VALUE...]
//	                              write NAME.ini: the script's defaults, changed
//	certificate NAME IP           write NAME.crt and NAME.key, self-signed
//	call [-bg NAME] [-until PATTERN] [-ca FILE] [-X METHOD] [-H HEADER]... [-d BODY] [-pause TIME] [-leave TIME] URL
//	                              make one call; status, headers and body to stdout;
//	                              read the body after a pause, go away after a time
//	call_began NAME               wait for the head of a background call's answer
//	                              -until repeats the call until its output matches
//	wait_call NAME                wait for a background call; as call
//	streams NAME CALLERS TOKENS KEY MODEL URL
//	                              start concurrent streams with a prompt each
//	wait_streams NAME             wait for them; "whole: N crossed: N broken: N"
//	expect NAME PATTERN [WITHIN]  wait for a line in NAME.log
//	soak ENTRY ENTRY...           random faults and calls for $SOAK_FOR from the seed
//	                              $SOAK_SEED, then what was seen against what ran
//	at_most N NAME PATTERN        check that NAME.log has no more lines that match
//	await [-ca FILE] [-H HEADER]... URL [PATTERN] [WITHIN]
//	                              wait until a GET answers 200 with PATTERN in it
//
// testscript's own stop ends a script as passed, and its kill knows only its
// own processes; scripts that use either fail.
//
// Each script has a network of its own: $NET is the first three numbers of
// loopback addresses that no other script uses. $LONG_WORD is a long word.
//
// # Usage
//
//	go test ./internal/scenario -run 'TestScenarios/path'
package scenario
