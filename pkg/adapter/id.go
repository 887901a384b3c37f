package adapter

// ID identifies one version of one adapter across teams. It is the unit that an
// engine loads. The zero ID means no adapter, as in requests to plain services.
type ID struct {
	Team string
	Ref  Ref
}

// IsZero reports whether id is the zero ID, which means no adapter.
func (id ID) IsZero() bool { return id == ID{} }

// String returns "team/name@version", the adapter's name on engines, or the
// empty string for the zero ID.
func (id ID) String() string {
	if id.IsZero() {
		return ""
	}
	return id.Team + "/" + id.Ref.String()
}
