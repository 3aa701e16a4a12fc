package learn

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A successor must expect what its predecessor did.
func TestDecodedModelPredictsTheSame(t *testing.T) {
	m := benchModel()
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []Key{
		{Queue: "q"},
		{Queue: "q", Team: "new"},
		{Queue: "q", Team: "team-2", Image: "image"},
		{Queue: "q", Team: "team-3", Image: "image", Kind: "kind-1"},
		{Queue: "unknown"},
	} {
		want, got := m.Predict(k, 3*time.Second), decoded.Predict(k, 3*time.Second)
		for _, share := range []float64{0.1, 0.5, 0.95} {
			if errorOf(got.Quantile(share), want.Quantile(share)) > 0.02 || errorOf(got.Expected(), want.Expected()) > 0.001 {
				t.Errorf("%+v: got %v, and %v at %v; want %v and %v", k, got.Expected(), got.Quantile(share), share, want.Expected(), want.Quantile(share))
			}
		}
	}
	task := Sample{Estimate: time.Second, RunTime: 3 * time.Second, Weight: 1}
	decoded.Record(Key{Queue: "q", Team: "team-1", Image: "x", Kind: "y"}, task)
	if data2, err := m.Encode(); err != nil || string(data2) != string(data) {
		t.Errorf("two encodings of a model differ (error %v)", err)
	}
}

// The stored value has a bound. What is left out has to be what matters least.
func TestEncodedModelIsBounded(t *testing.T) {
	var m Model
	rng := rand.New(rand.NewSource(1))
	for i := range 8_000 {
		k := Key{
			Queue: fmt.Sprint("queue-", i%30), Team: fmt.Sprintf("team-%080d", i%399), Image: fmt.Sprintf("image-%080d", i%800), Kind: fmt.Sprint(i % 3),
		}
		if i%5 == 0 {
			k.Team = "busy"
		}
		m.Record(k, Sample{Estimate: time.Second, RunTime: seconds(math.Exp(rng.NormFloat64())), Weight: 1})
	}
	data, err := m.Encode()
	if err != nil || len(data) > MaxEncoded {
		t.Fatalf("got %d bytes and error %v, want at most %d", len(data), err, MaxEncoded)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(decoded.queues), len(m.queues); got != want {
		t.Errorf("got %d queues, want %d", got, want)
	}
	if decoded.queues["queue-5"].teams["busy"] == nil {
		t.Error("the team with the most samples was left out")
	}
}

// A value that isn't a model must be refused as a whole: it may come from another version, or have been written by hand.
func TestInvalidValuesAreRefused(t *testing.T) {
	valid := func() *encodedModel {
		return &encodedModel{Version: encodingVersion, Queues: []encodedQueue{{
			Name: "q", Samples: 3, Slope: 1, Variance: 0.1, Spread: []byte{24, 0, 64},
			Teams: []encodedTeam{{Name: "a", Samples: 3, SumXX: 1, Images: []encodedDeviation{{Name: "i", Samples: 1}}}},
			Kinds: []encodedDeviation{{Name: "k", Samples: 1}},
		}}}
	}
	encode := func(e *encodedModel) []byte {
		data, err := cbor.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	if _, err := Decode(encode(valid())); err != nil {
		t.Fatalf("a valid value was refused: %v", err)
	}
	nan := float32(math.NaN())
	for name, change := range map[string]func(e *encodedModel){
		"version":      func(e *encodedModel) { e.Version = 2 },
		"samples":      func(e *encodedModel) { e.Queues[0].Samples = 1e6 },
		"not a number": func(e *encodedModel) { e.Queues[0].Level = nan },
		"team":         func(e *encodedModel) { e.Queues[0].Teams[0].MeanY = nan },
		"no samples":   func(e *encodedModel) { e.Queues[0].Teams[0].Samples = 0 },
		"negative sum": func(e *encodedModel) { e.Queues[0].Teams[0].SumXX = -1 },
		"bin":          func(e *encodedModel) { e.Queues[0].Spread = []byte{bins, 0, 1} },
		"half a bin":   func(e *encodedModel) { e.Queues[0].Spread = []byte{1, 0} },
		"image":        func(e *encodedModel) { e.Queues[0].Teams[0].Images[0].Mean = nan },
		"kind":         func(e *encodedModel) { e.Queues[0].Kinds[0].Samples = -1 },
		"queue twice":  func(e *encodedModel) { e.Queues = append(e.Queues, e.Queues[0]) },
		"team twice":   func(e *encodedModel) { e.Queues[0].Teams = append(e.Queues[0].Teams, e.Queues[0].Teams[0]) },
		"too many kinds": func(e *encodedModel) {
			for i := range 20 {
				e.Queues[0].Kinds = append(e.Queues[0].Kinds, encodedDeviation{Name: fmt.Sprint(i)})
			}
		},
	} {
		e := valid()
		change(e)
		if _, err := Decode(encode(e)); err == nil {
			t.Errorf("%s: an invalid value was accepted", name)
		}
	}
	for _, data := range [][]byte{nil, []byte("text"), make([]byte, MaxEncoded+1)} {
		if _, err := Decode(data); err == nil {
			t.Errorf("%d bytes that aren't a model were accepted", len(data))
		}
	}
}

// Any bytes may be stored under the key: a value that is accepted must give finite expectations, and go on learning.
func FuzzDecode(f *testing.F) {
	data, err := benchModel().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x82, 1, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		for name := range m.queues {
			k := Key{Queue: name, Team: "a", Kind: "k"}
			m.Record(k, Sample{Estimate: time.Second, RunTime: time.Second, Weight: 1})
			p := m.Predict(k, time.Second)
			if got := p.Expected(); got < 40*time.Millisecond || got > 30*time.Second {
				t.Errorf("expected run time of an estimate of 1 s: got %v, want it within a factor of 20", got)
			}
			p.Remaining(time.Second, 0.9)
		}
		if _, err := m.Encode(); err != nil {
			t.Error(err)
		}
	})
}
