// Package event has the numbered events of the log and writes them.
//
// Every line of a log carries an event's number and name. The catalogue in
// docs/EVENTS.md lists them all; a test holds the two against each other.
//
// # Usage
//
//	log := event.New(os.Stderr, "entryd", "e1", zerolog.InfoLevel)
//	log.At(event.RouteChosen).Str("target", name).Send()
package event
