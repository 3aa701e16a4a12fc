package conf

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// A node has 3 KB/s for all control traffic. An agent has three links; it receives each of the 9,300 changes a day once
// and repeats its state every 4 s on each link.
func TestTrafficOfAnAgentIsBounded(t *testing.T) {
	d := model.Declaration{}
	for i := range 380 {
		d.Teams = append(d.Teams, model.TeamSpec{
			Name: model.Team(fmt.Sprintf("team-%d", i*7919%1000)), Weight: 1 + i%9, Quota: 64 + 8*(i%5),
			Guarantees: []model.Guarantee{{
				Name: fmt.Sprintf("shape-%d", i*31%97), Grace: time.Duration(1+i%9) * time.Second,
				Shape: model.Shape{Tasks: 1 + i%4, GPUs: 8, Adjacent: model.SameRack},
			}},
		})
	}
	document, err := decl.Format(d)
	if err != nil {
		t.Fatal(err)
	}
	size := func(m config.Message) int {
		f, err := pack(m, new(documentCache))
		if err != nil {
			t.Fatal(err)
		}
		var buf bytes.Buffer
		if err := link.Encode(&buf, f); err != nil {
			t.Fatal(err)
		}
		return buf.Len()
	}
	now := model.NewIncarnation(time.Now())
	stamp := config.Stamp{Incarnation: now, At: 1000 * time.Hour}
	announcement := config.Message{
		Highest: 1 << 20, InUse: 1 << 20, StoreRevision: 1 << 20, Age: time.Second, Ready: true, Confirmed: true, Sent: stamp, Echo: stamp,
	}
	withDocument := announcement
	withDocument.Snapshot = &config.Snapshot{Revision: 1 << 20, Change: NewChange(), Author: "operator@host", Document: string(document)}
	const headers = 70 // of TCP, IP and WebSocket
	const links = 3
	idle := float64(links*(size(announcement)+headers)) / lowRateInterval.Seconds()
	// Each change is announced on all links, in both directions; its document is received over one link.
	changes := 9300.0 / 86400 * float64(size(withDocument)+2*links*(size(announcement)+headers))
	t.Logf("document %d bytes, on the link %d; advert %d; at rest %.0f B/s, changes %.0f B/s",
		len(document), size(withDocument), size(announcement), idle, changes)
	if got, want := idle+changes, 1500.0; got > want {
		t.Errorf("traffic of an agent: got %.0f B/s, want at most half of 3 KB/s", got)
	}
}

// A peer could send a small message whose document has an arbitrary size when decompressed.
func TestUnpackRefusesOversizedDocuments(t *testing.T) {
	for _, tc := range []struct {
		name string
		size int
		ok   bool
	}{{"largest", decl.MaxDocumentBytes, true}, {"larger", decl.MaxDocumentBytes + 1, false}, {"bomb", 4 * decl.MaxDocumentBytes, false}} {
		f, err := pack(config.Message{Snapshot: &config.Snapshot{Document: strings.Repeat("#", tc.size)}}, new(documentCache))
		if err != nil {
			t.Fatal(err)
		}
		m, err := unpack(f)
		if (err == nil) != tc.ok || tc.ok && len(m.Snapshot.Document) != tc.size {
			t.Errorf("%s: got %v, want success %v", tc.name, err, tc.ok)
		}
	}
	if _, err := unpack(link.Config{Message: config.Message{Snapshot: &config.Snapshot{}}, Document: []byte("junk")}); err == nil {
		t.Error("junk: got no error")
	}
}

// An entry sends the same document to thousands of agents, so packing it again must be cheap.
func BenchmarkPack(b *testing.B) {
	m := config.Message{Snapshot: &config.Snapshot{Document: strings.Repeat("- {name: team-1, weight: 1, quota: 64}\n", 1500)}}
	b.Run("again", func(b *testing.B) {
		cache := new(documentCache)
		for b.Loop() {
			if _, err := pack(m, cache); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			if _, err := pack(m, new(documentCache)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
