package check

// Field is a value and the place where it is declared, or that of its parent if it is absent.
type Field[T any] struct {
	Value T
	Place Place
}

// Route is the declaration of a queue and of the requests that reach it.
type Route struct {
	Place Place
	// Name is the name of the queue, Service that of the service whose workers run its jobs.
	Name, Service Field[string]
	// Host and Prefix select the requests: those of the host whose path begins with the prefix.
	Host, Prefix Field[string]
	// TimeoutMillis bounds a request, TargetMillis is the constant part of the latency objective; 0 means none.
	TimeoutMillis, TargetMillis Field[int64]
	Priority, MaxAttempts       Field[int64]
	Stretch                     Field[float64]
	// Public allows requests without an API key.
	Public bool
	// RequiresTicket restricts jobs to workers for which the advice service has issued a ticket.
	RequiresTicket bool
	// Type and Regions are compared only.
	Type, Regions string
}

// Service is the declaration of a service.
type Service struct {
	Place Place
	Name  Field[string]
	// Settings has the text of each other value by its name; they are compared only.
	Settings map[string]string
}

// Team is the declaration of a team.
type Team struct {
	Place Place
	Name  Field[string]
	Keys  []Field[string]
	// Guarantee is the number of accelerators that the team can claim at any time, Quota the largest number that it uses; 0
	// means none.
	Guarantee, Quota Field[int64]
	// Priority and Regions are compared only.
	Priority int64
	Regions  string
}

// Limits are the bounds on callers' requests.
type Limits struct {
	// BodyBytes is the limit that applies, the default included.
	BodyBytes Field[int64]
	// HeaderBytes and the times are 0 if the state doesn't set them.
	HeaderBytes, HeaderTimeoutMillis, IdleTimeoutMillis Field[int64]
}

// State is a desired state as it was written.
type State struct {
	Place   Place
	Version Field[int64]
	Routes  []Route
	// ListsServices is true if the state has a list of services.
	ListsServices bool
	Services      []Service
	Teams         []Team
	Limits        Limits
}

// Bounds are the facts outside a state that it must agree with.
type Bounds struct {
	// GPUs is the number of accelerators of the fleet; 0 means that it is not known.
	GPUs int64
	// BodyBudget is the memory of an entry for bodies in progress, in bytes; 0 means that it is not known. One body may take as much
	// of it as budget.MaxBody says.
	BodyBudget int64
	// MinBody is the size of the smallest job in bytes.
	MinBody int64
	// InForce is the version in force, or nil if it is not known.
	InForce *int64
}
