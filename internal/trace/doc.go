// Package trace merges the logs of several processes into the timeline of one
// request: the decisions on the request in order of time, and the state of the
// targets and adapters that each deciding process knew at that time.
//
// It reads logs with one JSON object per line. Each object may have a prefix, such
// as a time and a host name.
//
// # Usage
//
//	var logs trace.Logs
//	if err := logs.Read(file); err != nil {
//		return err
//	}
//	for _, e := range logs.Timeline("9c41d07be2a35f68") {
//		fmt.Println(e.Line.String())
//	}
package trace
