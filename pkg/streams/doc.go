// Package streams decides where a broken stream may go on. What two versions of a
// service's software write does not fit together, so that only a target of the version
// that began a stream may continue it.
//
// A Table keeps the origins of streams. Several processes keep that of each stream, its
// holders: they are chosen by a hash (package holder), so that any process finds the origin
// of a stream which another one relayed. An origin that no holder knows proves nothing, also if only
// one version is left.
//
// # Usage
//
//	t := streams.NewTable(capacity)
//	t.Record(now, streams.KeyOf(id), streams.Origin{Service: "chat", Version: "v1"}, until)
//	o, until, ok := t.Origin(now, streams.KeyOf(id))
package streams
