package catalog

import "cmp"

// Position is a point in the history of the platform's store. A store that is restored from a
// backup begins a new era: its revisions go back and are assigned again, so revisions can only
// be compared within one era.
type Position struct {
	// Era is the number of the era; 0 if unknown.
	Era uint64
	// Revision is the revision within the era.
	Revision uint64
}

// Compare compares positions by era, and by revision within an era.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// eraState is what a view knows of the store's eras. A restored store lacks what was written in
// the last seconds before the restore. Operators and back ends write their objects again. Until
// they have, an object that is missing in the store doesn't count as removed, and a removed
// object that is in the store again doesn't count as added.
type eraState struct {
	// era is the highest era observed.
	era uint64
	// restored is set once the end of an era has been observed. From then on, a record without
	// an era counts as older than all others. Before that, it may come from software that doesn't
	// know eras, and is compared by revision.
	restored bool
	// ignored is set in tests which verify that the checks detect a view that ignores eras.
	ignored bool
	// settled is set once everything that the store lacked at the beginning of the era has been
	// written again or no longer exists.
	settled bool
}

// observe processes an era reported by the store or a peer, and reports whether it is new.
func (e *eraState) observe(era uint64) (isNew bool) {
	if era <= e.era || e.ignored {
		return false
	}
	e.restored = e.restored || e.era > 0
	e.era, e.settled = era, false
	return true
}

// isOutdated reports whether a position belongs to an era that has ended.
func (e *eraState) isOutdated(position Position) bool {
	return !e.ignored && position.Era < e.era && (position.Era > 0 || e.restored)
}
