package learn

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxEncoded is the largest encoded size of a model, in bytes.
	MaxEncoded = 64 << 10
	// encodingVersion is the version of the encoding. A value of another version isn't decoded.
	encodingVersion = 1
	// weightUnit is the smallest weight of a bin that is encoded.
	weightUnit = 1.0 / 64
	// maxLog bounds the logarithms in an encoded model: exp(30) seconds are longer than any run.
	maxLog = 30
	// minSamples is the smallest weight of a team.
	minSamples = 1e-9
)

type encodedModel struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Queues  []encodedQueue
}

type encodedQueue struct {
	_                                      struct{} `cbor:",toarray"`
	Name                                   string
	Samples, Pivot, Level, Slope, Variance float32
	Spread                                 []byte
	Teams                                  []encodedTeam
	Kinds                                  []encodedDeviation
}

type encodedTeam struct {
	_                                   struct{} `cbor:",toarray"`
	Name                                string
	Samples, MeanX, MeanY, SumXX, SumXY float32
	Spread                              []byte
	Images                              []encodedDeviation
}

type encodedDeviation struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Samples, Mean float32
}

// Encode returns the encoded form of the model, of at most MaxEncoded bytes. If necessary, it leaves out the images, and then
// the teams with the fewest samples.
func (m *Model) Encode() ([]byte, error) {
	e := m.encoded()
	for drop := 0; ; drop++ {
		data, err := cbor.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode learned run times")
		}
		if len(data) <= MaxEncoded {
			return data, nil
		}
		e.shorten(drop == 0)
	}
}

// shorten leaves out the images or, if there are none any more, half of the teams of each queue, or else half of the queues.
func (e *encodedModel) shorten(images bool) {
	longest := 0
	for i := range e.Queues {
		q := &e.Queues[i]
		longest = max(longest, len(q.Teams))
		if images {
			for k := range q.Teams {
				q.Teams[k].Images = nil
			}
			continue
		}
		q.Teams = q.Teams[:len(q.Teams)/2]
	}
	if !images && longest == 0 {
		e.Queues = e.Queues[:len(e.Queues)/2]
	}
}

// encoded returns the model in its encoded form: queues and teams by falling weight, deviations by name.
func (m *Model) encoded() *encodedModel {
	e := &encodedModel{Version: encodingVersion}
	for name, q := range m.queues {
		eq := encodedQueue{
			Name: name, Samples: float32(q.samples), Pivot: float32(q.pivot), Level: float32(q.level), Slope: float32(q.slope),
			Variance: float32(q.variance), Spread: q.spread.encode(), Kinds: encodeDeviations(q.kinds),
		}
		for id, t := range q.teams {
			eq.Teams = append(eq.Teams, encodedTeam{
				Name: id, Samples: float32(t.samples), MeanX: float32(t.meanX), MeanY: float32(t.meanY), SumXX: float32(t.sumXX),
				SumXY: float32(t.sumXY), Spread: t.spread.encode(), Images: encodeDeviations(t.images),
			})
		}
		slices.SortFunc(eq.Teams, func(a, b encodedTeam) int { return byWeight(a.Samples, b.Samples, a.Name, b.Name) })
		e.Queues = append(e.Queues, eq)
	}
	slices.SortFunc(e.Queues, func(a, b encodedQueue) int { return byWeight(a.Samples, b.Samples, a.Name, b.Name) })
	return e
}

// byWeight compares by falling weight, and by name where that is the same.
func byWeight(x, y float32, a, b string) int {
	if x != y {
		if x > y {
			return -1
		}
		return 1
	}
	if a < b {
		return -1
	}
	return 1
}

func encodeDeviations(all map[string]*deviation) []encodedDeviation {
	var list []encodedDeviation
	for name, d := range all {
		list = append(list, encodedDeviation{Name: name, Samples: float32(d.samples), Mean: float32(d.mean)})
	}
	slices.SortFunc(list, func(a, b encodedDeviation) int { return byWeight(0, 0, a.Name, b.Name) })
	return list
}

// encode returns three bytes for each bin that isn't empty: its number and its weight in units.
func (h *histogram) encode() []byte {
	var data []byte
	for i, w := range h {
		if units := math.Round(float64(w) / weightUnit); units > 0 {
			data = append(data, byte(i))
			data = binary.BigEndian.AppendUint16(data, uint16(min(units, math.MaxUint16)))
		}
	}
	return data
}

// decode sets the histogram to its encoded form and returns its total weight.
func (h *histogram) decode(data []byte) (float64, error) {
	if len(data)%3 != 0 {
		return 0, errors.New("a spread has an incomplete bin")
	}
	total := 0.0
	for ; len(data) > 0; data = data[3:] {
		if data[0] >= bins {
			return 0, errors.New("a spread has an unknown bin")
		}
		w := float64(binary.BigEndian.Uint16(data[1:])) * weightUnit
		h[data[0]] = float32(w)
		total += w
	}
	return total, nil
}

// Decode returns the model that Encode has encoded.
func Decode(data []byte) (*Model, error) {
	if len(data) > MaxEncoded {
		return nil, errors.Newf("decode learned run times: got %d bytes, want at most %d", len(data), MaxEncoded)
	}
	var e encodedModel
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode learned run times")
	}
	if e.Version != encodingVersion {
		return nil, errors.Newf("decode learned run times: got version %d, want %d", e.Version, encodingVersion)
	}
	m := &Model{queues: map[string]*queue{}}
	for i := range e.Queues {
		if err := m.decodeQueue(&e.Queues[i]); err != nil {
			return nil, errors.Wrapf(err, "decode learned run times: queue %q", e.Queues[i].Name)
		}
	}
	if len(m.queues) > maxQueues || m.teams > maxTeams || m.images > maxImages+maxTeams {
		return nil, errors.New("decode learned run times: too many queues, teams or images")
	}
	return m, nil
}

func (m *Model) decodeQueue(e *encodedQueue) error {
	q := &queue{
		teams: map[string]*team{}, samples: float64(e.Samples), pivot: float64(e.Pivot), level: float64(e.Level), slope: float64(e.Slope),
		variance: float64(e.Variance),
	}
	// Slopes beyond 10 don't come up: they are the quotient of sums to which a prior of 1 is added.
	if !within(e.Samples, 0, maxSamples+1) || !within(e.Pivot, -maxLog, maxLog) || !within(e.Level, -maxLog, maxLog) ||
		!within(e.Slope, -maxLog, maxLog) || !within(e.Variance, 0, maxLog) {
		return errors.New("a figure is out of range")
	}
	var err error
	if q.weight, err = q.spread.decode(e.Spread); err != nil {
		return err
	}
	if q.kinds, err = decodeDeviations(e.Kinds); err != nil {
		return err
	}
	q.kindMean = meanDeviation(q.kinds)
	for i := range e.Teams {
		et := &e.Teams[i]
		t := &team{
			samples: float64(et.Samples), meanX: float64(et.MeanX), meanY: float64(et.MeanY), sumXX: float64(et.SumXX),
			sumXY: float64(et.SumXY),
		}
		if !within(et.Samples, minSamples, maxSamples+1) || !within(et.MeanX, -maxLog, maxLog) || !within(et.MeanY, -maxLog, maxLog) ||
			!within(et.SumXX, 0, maxSum) || !within(et.SumXY, -maxSum, maxSum) {
			return errors.Newf("team %q: a figure is out of range", et.Name)
		}
		if t.weight, err = t.spread.decode(et.Spread); err != nil {
			return errors.Wrapf(err, "team %q", et.Name)
		}
		if t.images, err = decodeDeviations(et.Images); err != nil {
			return errors.Wrapf(err, "team %q", et.Name)
		}
		if q.teams[et.Name] != nil || len(et.Name) > maxName {
			return errors.Newf("team %q is named twice or too long", et.Name)
		}
		t.imageMean = meanDeviation(t.images)
		q.teams[et.Name] = t
		q.order = append(q.order, t)
		m.teams++
		m.images += len(t.images)
	}
	if m.queues[e.Name] != nil || len(e.Name) > maxName || len(q.kinds) > maxKinds {
		return errors.New("the name is used twice or too long, or there are too many kinds of workers")
	}
	m.queues[e.Name] = q
	return nil
}

// maxSum bounds the sums of products in an encoded model: maxSamples products of two logarithms.
const maxSum = maxSamples * maxLog * maxLog

func decodeDeviations(list []encodedDeviation) (map[string]*deviation, error) {
	all := map[string]*deviation{}
	for _, e := range list {
		if !within(e.Samples, 0, maxSamples) || !within(e.Mean, -maxLog, maxLog) || all[e.Name] != nil || len(e.Name) > maxName {
			return nil, errors.Newf("deviation of %q is out of range, named twice or too long", e.Name)
		}
		all[e.Name] = &deviation{samples: float64(e.Samples), mean: float64(e.Mean)}
	}
	return all, nil
}

// within reports whether a value is a number between two bounds.
func within(value, low, high float32) bool { return value >= low && value <= high }
