package account

import "slices"

// Overrides are the parameters that an account sets itself. A nil field takes the
// value of the template, or the default if there is no template.
type Overrides struct {
	Guarantees *[]Guarantee `json:"guarantees,omitempty"`
	QueueLimit *int         `json:"queue,omitempty"`
	Order      *[]Class     `json:"order,omitempty"`
	Urgent     *[]Class     `json:"urgent,omitempty"`
	Weights    *Weights     `json:"weights,omitempty"`
}

// ApplyTo returns the base parameters with the overrides applied.
func (o Overrides) ApplyTo(base Parameters) Parameters {
	override(&base.Guarantees, o.Guarantees)
	override(&base.QueueLimit, o.QueueLimit)
	override(&base.Order, o.Order)
	override(&base.Urgent, o.Urgent)
	override(&base.Weights, o.Weights)
	return base
}

// Empty reports whether nothing is overridden.
func (o Overrides) Empty() bool {
	return o == Overrides{}
}

// Equal reports whether two sets of parameters are equal.
func (p Parameters) Equal(other Parameters) bool {
	return slices.Equal(p.Guarantees, other.Guarantees) &&
		p.QueueLimit == other.QueueLimit &&
		slices.Equal(p.Order, other.Order) &&
		slices.Equal(p.Urgent, other.Urgent) &&
		p.Weights == other.Weights
}

func override[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
