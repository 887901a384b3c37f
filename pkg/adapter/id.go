package adapter

// ID names one version of one adapter across teams: what an engine loads.
// The zero ID stands for no adapter, as in requests to plain services.
type ID struct {
	Team string
	Ref  Ref
}

// IsZero reports whether id names no adapter.
func (id ID) IsZero() bool { return id == ID{} }

// String returns "team/name@version", the adapter's name on engines, or the
// empty string for the zero ID.
func (id ID) String() string {
	if id.IsZero() {
		return ""
	}
	return id.Team + "/" + id.Ref.String()
}
