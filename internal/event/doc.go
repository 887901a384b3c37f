// Package event defines the numbered log events of the daemons and writes them as
// JSON lines.
//
// Every line of a log contains the number and the name of its event. docs/EVENTS.md
// lists all events; a test checks that it agrees with the catalogue of this package.
//
// # Usage
//
//	log := event.New(os.Stderr, "entryd", "e1", zerolog.InfoLevel)
//	log.Event(event.RouteChosen).Str("target", name).Send()
package event
