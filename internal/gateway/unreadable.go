package gateway

import (
	"cmp"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// maxUnreadable limits the remembered objects: other writers may create any number. At the
// limit, all are forgotten, so a revision may then be reported again.
const maxUnreadable = 256

// maxNameShown limits, in bytes, the beginning of an object's name that is remembered and logged.
const maxNameShown = 256

// unreadable remembers the store's objects that can't be used, by kind and name, so that each
// revision is reported once.
type unreadable struct {
	objects map[objectName]catalog.Unreadable
}

type objectName struct {
	kind catalog.ObjectKind
	name string
}

// note records the object and reports whether it is new at this position.
func (u *unreadable) note(object catalog.Unreadable) bool {
	key := objectName{object.Kind, object.Name}
	known, exists := u.objects[key]
	if exists && known.At.Compare(object.At) >= 0 {
		return false
	}
	if u.objects == nil || !exists && len(u.objects) >= maxUnreadable {
		u.objects = map[objectName]catalog.Unreadable{}
	}
	u.objects[key] = object
	return true
}

// UnreadableStatus is the status of a store object that can't be used.
type UnreadableStatus struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

func (u *unreadable) status() []UnreadableStatus {
	var list []UnreadableStatus
	for _, each := range u.objects {
		list = append(list, UnreadableStatus{Kind: string(each.Kind), Name: each.Name, Era: each.At.Era, Revision: each.At.Revision, Reason: string(each.Reason)})
	}
	slices.SortFunc(list, func(a, b UnreadableStatus) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// NoteUnreadable logs an object of the store that can't be used, once per revision. It reports
// whether it logged the object.
func (s *State) NoteUnreadable(object catalog.Unreadable) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(object.Name) > maxNameShown {
		object.Name = strings.ToValidUTF8(object.Name[:maxNameShown], "") + "..."
	}
	if !s.unreadable.note(object) {
		return false
	}
	s.log.Warn(eventlog.ObjectUnreadable, logrus.Fields{
		"kind": string(object.Kind), "name": object.Name, "era": object.At.Era, "revision": object.At.Revision, "reason": string(object.Reason),
	})
	return true
}
