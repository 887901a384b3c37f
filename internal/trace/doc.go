// Package trace reads the logs of several processes and tells the story of one
// request: what was decided on it, in order, and what each process believed
// when it decided.
//
// It reads plain logs, one JSON object a line, and logs in which something
// stands before each object, such as a time and the name of a machine.
//
// # Usage
//
//	var s trace.Story
//	if err := s.Read(file); err != nil {
//		return err
//	}
//	for _, e := range s.Of("9c41d07be2a35f68") {
//		fmt.Println(e)
//	}
package trace
