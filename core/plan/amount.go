package plan

import "wagtailhoist/core/model"

// Amount is a quantity of each resource. Memory is in gigabytes.
type Amount struct {
	GPUs   int `cbor:"1,keyasint,omitempty" json:"gpus,omitempty"`
	Cores  int `cbor:"2,keyasint,omitempty" json:"cores,omitempty"`
	Memory int `cbor:"3,keyasint,omitempty" json:"memory,omitempty"`
}

// PerTask returns the resources of one task of s.
func PerTask(s model.Shape) Amount { return Amount{GPUs: s.GPUs, Cores: s.Cores, Memory: s.Memory} }

// Capacity returns the resources of w.
func Capacity(w model.Worker) Amount {
	return Amount{GPUs: w.GPUs, Cores: w.Cores, Memory: w.Memory}
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.GPUs + b.GPUs, a.Cores + b.Cores, a.Memory + b.Memory}
}

// Minus returns a minus b. Fields of the result may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.GPUs - b.GPUs, a.Cores - b.Cores, a.Memory - b.Memory}
}

// Times returns a multiplied by n.
func (a Amount) Times(n int) Amount { return Amount{a.GPUs * n, a.Cores * n, a.Memory * n} }

// FitsIn reports whether a fits into room. An amount of zero of a resource always fits, even if observed usage has made
// the room for that resource negative.
func (a Amount) FitsIn(room Amount) bool {
	room = room.floor()
	return a.GPUs <= room.GPUs && a.Cores <= room.Cores && a.Memory <= room.Memory
}

// Max returns the larger of a and b for each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.GPUs, b.GPUs), max(a.Cores, b.Cores), max(a.Memory, b.Memory)}
}

// smaller returns the smaller of a and b for each resource.
func (a Amount) smaller(b Amount) Amount {
	return Amount{min(a.GPUs, b.GPUs), min(a.Cores, b.Cores), min(a.Memory, b.Memory)}
}

// floor returns a with negative fields set to zero.
func (a Amount) floor() Amount { return a.Max(Amount{}) }

// tasksThatFit returns how many tasks of size perTask fit into room, at most limit.
func tasksThatFit(room, perTask Amount, limit int) int {
	n := limit
	if perTask.GPUs > 0 {
		n = min(n, room.GPUs/perTask.GPUs)
	}
	if perTask.Cores > 0 {
		n = min(n, room.Cores/perTask.Cores)
	}
	if perTask.Memory > 0 {
		n = min(n, room.Memory/perTask.Memory)
	}
	return max(n, 0)
}
