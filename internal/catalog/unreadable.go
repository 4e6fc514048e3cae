package catalog

// Unreadable is an object of the platform's store that can't be used.
type Unreadable struct {
	// Kind and Name identify the object, as far as they can be read.
	Kind ObjectKind
	Name string
	// At is the object's position. The revision is 0 if it can't be read.
	At Position
	// Reason is the object's fault.
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
	KindSettled       ObjectKind = "settled"
)

// Fault is the reason why an object can't be used.
type Fault string

// All faults.
const (
	// NotAnObject means that it has no fields, or no metadata with its name.
	NotAnObject Fault = "not_an_object"
	// WrongType means that a field has the wrong type.
	WrongType Fault = "wrong_type"
	// MissingField means that a required field is missing or empty.
	MissingField Fault = "missing_field"
	// OutOfRange means that a number is out of range or an address is invalid.
	OutOfRange Fault = "out_of_range"
	// UnknownState means that its state isn't a known one.
	UnknownState Fault = "unknown_state"
)
