package ids

import "cmp"

// Position is a place in the history of the store. A store that was restored from a
// copy has lost its latest changes and assigns the same revisions again; the new
// era tells them apart.
type Position struct {
	Era      Era
	Revision StoreRevision
}

// IsZero reports whether p is the zero Position: no revision of the store is known.
func (p Position) IsZero() bool { return p == Position{} }

// Before reports whether p is earlier than o in the history of the store.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Compare compares positions by era and then by revision. It returns -1 if p is
// earlier than o, 0 if they are equal, and 1 if p is later.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Latest returns the later of two positions.
func Latest(p, o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}
