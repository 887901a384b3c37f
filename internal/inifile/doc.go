// Package inifile reads INI files with checks: every key has a type and a
// range, unknown sections and keys are errors, and an error names the file, the
// section, the key, what was found and what is allowed.
//
// # Usage
//
//	f, err := inifile.Open("entryd.ini")
//	if err != nil {
//		return err
//	}
//	name := f.Name("process", "name")
//	addr := f.AddrPort("listen", "address")
//	if err := f.Done(); err != nil {
//		return err // the first thing that was wrong
//	}
package inifile
