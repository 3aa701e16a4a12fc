package room

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// MaxEncoded is the largest encoded size of a forecast, in bytes.
const MaxEncoded = 4 << 10

// Forecast says when work of each queue could start at the earliest. It is the answer of the owner to a notification.
type Forecast struct {
	// Fence is that of the owner, Number counts its forecasts.
	Fence  uint64
	Number uint64
	// Age is how long ago it was made when it is sent.
	Age    time.Duration
	Queues []QueueForecast
	Teams  []TeamShare
}

// QueueForecast holds lower bounds of the time until the start of a queue's tasks.
type QueueForecast struct {
	Name string
	// Sizes and Objectives are the points for which Waits holds the bounds, by size and then by objective.
	Sizes      []Size
	Objectives []time.Duration
	Waits      []time.Duration
}

// TeamShare is the capacity that a team uses, as a share of that of the team with the highest use.
type TeamShare struct {
	Team  model.Team
	Share float64
}

// Wait returns the lower bound for tasks of a size whose job has an objective: that of the points which are no larger and have no
// longer objective. Without such a point it is 0.
func (f *Forecast) Wait(queue string, size Size, objective time.Duration) time.Duration {
	wait := time.Duration(0)
	for i := range f.Queues {
		q := &f.Queues[i]
		if q.Name != queue {
			continue
		}
		for n := range q.Sizes {
			for o := range q.Objectives {
				if size.Contains(q.Sizes[n]) && objective >= q.Objectives[o] {
					wait = max(wait, q.Waits[n*len(q.Objectives)+o])
				}
			}
		}
	}
	return wait
}

type encodedForecast struct {
	_             struct{} `cbor:",toarray"`
	Fence, Number uint64
	Age           int64
	Queues        []encodedQueue
	Teams         []encodedTeam
}

// encodedQueue has times in units of resolution. Objectives, and the waits of one size, are the differences to the one before.
type encodedQueue struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Sizes      [][resources + 1]int64
	Objectives []int64
	Waits      []int64
}

// encodedTeam has the share in percent.
type encodedTeam struct {
	_     struct{} `cbor:",toarray"`
	Team  string
	Share int
}

// Encode returns the encoded form of the forecast, of at most MaxEncoded bytes. If necessary, it leaves out the teams and then the
// last queues, whose jobs are then accepted.
func (f *Forecast) Encode() ([]byte, error) {
	e := encodedForecast{Fence: f.Fence, Number: f.Number, Age: f.Age.Milliseconds()}
	for i := range f.Queues {
		e.Queues = append(e.Queues, f.Queues[i].encoded())
	}
	for _, t := range f.Teams {
		e.Teams = append(e.Teams, encodedTeam{Team: string(t.Team), Share: int(t.Share * 100)})
	}
	for {
		data, err := cbor.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode forecast")
		}
		switch {
		case len(data) <= MaxEncoded:
			return data, nil
		case len(e.Teams) > 0:
			e.Teams = nil
		default:
			e.Queues = e.Queues[:len(e.Queues)-1]
		}
	}
}

func (q *QueueForecast) encoded() encodedQueue {
	e := encodedQueue{Name: q.Name}
	for _, n := range q.Sizes {
		e.Sizes = append(e.Sizes, [resources + 1]int64{int64(n.Width), n.Need.CPU, n.Need.Memory, n.Need.GPU})
	}
	last := time.Duration(0)
	for _, o := range q.Objectives {
		e.Objectives = append(e.Objectives, int64((o-last)/resolution))
		last = o
	}
	for i, w := range q.Waits {
		if i%len(q.Objectives) > 0 {
			w -= q.Waits[i-1]
		}
		e.Waits = append(e.Waits, int64(w/resolution))
	}
	return e
}

// Decode returns an encoded forecast.
func Decode(data []byte) (Forecast, error) {
	if len(data) > MaxEncoded {
		return Forecast{}, fmt.Errorf("decode forecast: got %d bytes, allowed %d", len(data), MaxEncoded)
	}
	var e encodedForecast
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Forecast{}, errors.Wrap(err, "decode forecast")
	}
	if e.Age < 0 || e.Age > maxWait.Milliseconds() {
		return Forecast{}, fmt.Errorf("decode forecast: age is %d ms", e.Age)
	}
	f := Forecast{Fence: e.Fence, Number: e.Number, Age: time.Duration(e.Age) * time.Millisecond}
	for i := range e.Queues {
		q, err := e.Queues[i].decoded()
		if err != nil {
			return Forecast{}, err
		}
		f.Queues = append(f.Queues, q)
	}
	for _, t := range e.Teams {
		f.Teams = append(f.Teams, TeamShare{model.Team(t.Team), float64(min(max(t.Share, 0), 100)) / 100})
	}
	return f, nil
}

func (e *encodedQueue) decoded() (QueueForecast, error) {
	q := QueueForecast{Name: e.Name}
	if len(e.Waits) != len(e.Sizes)*len(e.Objectives) {
		return q, fmt.Errorf("decode forecast of queue %q: got %d values for %d points", e.Name, len(e.Waits), len(e.Sizes)*len(e.Objectives))
	}
	for _, n := range e.Sizes {
		q.Sizes = append(q.Sizes, Size{batch.Amount{CPU: n[1], Memory: n[2], GPU: n[3]}, int(n[0])})
	}
	objective, wait := int64(0), int64(0)
	for _, o := range e.Objectives {
		if o < 0 || o > int64(maxObjective/resolution)-objective {
			return q, fmt.Errorf("decode forecast of queue %q: an objective is %d units after %d", e.Name, o, objective)
		}
		objective += o
		q.Objectives = append(q.Objectives, time.Duration(objective)*resolution)
	}
	for i, w := range e.Waits {
		if i%len(e.Objectives) == 0 {
			wait = 0
		}
		if w < -wait || w > int64(maxWait/resolution)-wait {
			return q, fmt.Errorf("decode forecast of queue %q: a wait is %d units after %d", e.Name, w, wait)
		}
		wait += w
		q.Waits = append(q.Waits, time.Duration(wait)*resolution)
	}
	return q, nil
}

// maxObjective bounds the objectives that are told apart.
const maxObjective = 1000 * 24 * time.Hour
