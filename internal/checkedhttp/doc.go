// Package checkedhttp returns clients of net/http that pass no response on that is none
// or is incomplete. net/http itself returns responses with any status of three
// characters that is a number, parses the body of an informational response as the next
// response, follows redirections, and reads a body that ends with its connection to a
// clean end although the request could not be written.
//
// # Usage
//
//	client := checkedhttp.New(&http.Transport{MaxResponseHeaderBytes: 64 << 10})
package checkedhttp
