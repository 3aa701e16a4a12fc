package peers

import (
	"testing"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Guards against an entry that calls itself ready before it knows the agents and then refuses requests, and
// against one that waits for ever where nobody tells it of any.
func TestSynced(t *testing.T) {
	begun := time.Unix(1_000_000, 0)
	agent := model.Record{ID: "a", Incarnation: 1, Region: "west", Service: "s"}
	other := []link.Entry{{ID: "other", Region: "west"}}
	for _, tc := range []struct {
		name   string
		stored []link.Entry
		heard  bool
		after  time.Duration
		want   bool
	}{
		{"no agent is known", nil, false, time.Second, false},
		{"an agent is known", nil, true, time.Second, true},
		{"a listed entry has told nothing", other, true, time.Second, false},
		{"nobody tells anything", other, false, syncLimit, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &Peers{Members: &Members{Table: member.Table{Region: "west"}}, begun: begun, stored: tc.stored}
			now := begun.Add(tc.after)
			if tc.heard {
				p.Members.fromAgent(now, []model.Record{agent})
			}
			if got := p.Synced(now); got != tc.want {
				t.Errorf("Synced: got %v, want %v", got, tc.want)
			}
		})
	}
}
