// Package inifile reads and validates INI files. Every key has a type and a range,
// unknown sections and keys are errors, and an error names the file, the section,
// the key, the value found and the values allowed.
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
//		return err // the first error of the file
//	}
package inifile
