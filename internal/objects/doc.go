// Package objects is the client of the platform's object API: objects with
// versions, conditional writes and watches. Everything that the system agrees
// on or keeps lives there.
//
// # Usage
//
//	c := objects.New(addr, httpClient)
//	obj, err := c.Get(ctx, objects.Roots, "root")
//	version, err := c.Put(ctx, objects.Roots, "root", value, obj.Version)
//	if objects.IsKind(err, objects.Uncertain) {
//		// The write may have taken effect: read the object back.
//	}
package objects
