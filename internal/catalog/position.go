package catalog

import "cmp"

// Position is a place in the history of the platform's store. A store that comes back from a
// copy begins a new era: its revisions go back and are given out again, so two revisions can
// be compared within one era alone.
type Position struct {
	// Era counts the histories of the store; 0 where it isn't told.
	Era uint64
	// Revision counts the changes of an era.
	Revision uint64
}

// Compare orders positions by era first.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// epoch is what is known of the store's eras. A restored store lacks what was written to it in
// its last seconds. The operators and the back ends write theirs again, so for a while it is
// neither believed that something is gone which it lacks, nor that something is back which
// had gone.
type eraState struct {
	// era is the highest heard of.
	era uint64
	// restored is set once it was heard that an era ended. From then on, a record without an
	// era counts as older than all others; before, it comes from software that knows no eras.
	restored bool
	// ignored is set where eras are passed over, to show that checks notice.
	ignored bool
	// settled is set once what the store lacked at the beginning of the era was written again,
	// or is gone.
	settled bool
}

// hear takes an era that was told, and tells whether it is a new one.
func (e *eraState) observe(era uint64) (isNew bool) {
	if era <= e.era || e.ignored {
		return false
	}
	e.restored = e.restored || e.era > 0
	e.era, e.settled = era, false
	return true
}

// isOutdated tells whether a position is of an era that has ended.
func (e *eraState) isOutdated(position Position) bool {
	return !e.ignored && position.Era < e.era && (position.Era > 0 || e.restored)
}
