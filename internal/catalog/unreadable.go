package catalog

// Unreadable is an object of the platform's store that can't be used as it is.
type Unreadable struct {
	// Kind and Name are the object's, as far as they can be read.
	Kind ObjectKind
	Name string
	// At is the position of what can't be read; its revision is 0 where it can't either.
	At Position
	// Reason tells what is wrong.
	Reason Fault
}

// ObjectKind is a kind of object of the store.
type ObjectKind string

// The kinds of objects that a gateway reads.
const (
	KindConfiguration ObjectKind = "configuration"
	KindBackEnd       ObjectKind = "back_end"
	KindEvacuation    ObjectKind = "evacuation"
	KindRollout       ObjectKind = "rollout"
	KindWithheld      ObjectKind = "withheld"
)

// Fault is what is wrong with an object.
type Fault string

// The closed list of faults.
const (
	// NotAnObject has no fields, or no metadata that names it.
	NotAnObject Fault = "not_an_object"
	// WrongType has a field of another type.
	WrongType Fault = "wrong_type"
	// MissingField lacks a field, or has an empty one.
	MissingField Fault = "missing_field"
	// OutOfRange has a number, or an address, that can't be one.
	OutOfRange Fault = "out_of_range"
	// UnknownState tells a state that isn't known.
	UnknownState Fault = "unknown_state"
)
