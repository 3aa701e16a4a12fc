package peers

import (
	"testing"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// An entry that reports ready before it knows the agents refuses requests. One that waits for records that
// nobody sends would never become ready.
func TestSynced(t *testing.T) {
	startedAt := time.Unix(1_000_000, 0)
	agent := model.Record{ID: "a", Incarnation: 1, Region: "west", Service: "s"}
	other := []link.Entry{{ID: "other", Region: "west"}}
	for _, tc := range []struct {
		name       string
		stored     []link.Entry
		agentKnown bool
		after      time.Duration
		want       bool
	}{
		{"no agent is known", nil, false, time.Second, false},
		{"an agent is known", nil, true, time.Second, true},
		{"a listed entry has sent no records", other, true, time.Second, false},
		{"no entry sends records", other, false, syncTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &Peers{Members: &Members{Table: member.Table{Region: "west"}}, startedAt: startedAt, stored: tc.stored}
			now := startedAt.Add(tc.after)
			if tc.agentKnown {
				p.Members.mergeFromAgent(now, []model.Record{agent})
			}
			if got := p.HasInitialRecords(now); got != tc.want {
				t.Errorf("Synced: got %v, want %v", got, tc.want)
			}
		})
	}
}
