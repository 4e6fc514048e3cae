package salvage

import "encoding/json"

// Number is a member of a document that is a number of at least 0. A value that isn't one, such as a negative number or a
// text, makes neither the document unusable nor its other members.
type Number struct {
	// Value is greater than 0, or 0 if the document has no such member.
	Value float64
	// Unusable is true if the document has a value that isn't such a number.
	Unusable bool
}

// UnmarshalJSON is called only if the member is present. It returns no error.
func (n *Number) UnmarshalJSON(raw []byte) error {
	*n = Number{}
	if err := json.Unmarshal(raw, &n.Value); err != nil || n.Value < 0 {
		*n = Number{Unusable: true}
	}
	return nil
}

// MarshalJSON writes the value.
func (n Number) MarshalJSON() ([]byte, error) { return json.Marshal(n.Value) }
