// Package objects is a client of the platform's object API, which offers
// versioned objects, conditional writes and watches. All durable and shared
// state of the system is stored there.
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
