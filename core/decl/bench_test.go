package decl

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// declarationOfSize returns a declaration with n teams of one guarantee each.
func declarationOfSize(n int) model.Declaration {
	var d model.Declaration
	for i := range n {
		d.Teams = append(d.Teams, model.TeamSpec{
			Name: model.Team(fmt.Sprintf("team-%d", i)), Weight: 1 + i%9, Quota: 64,
			Guarantees: []model.Guarantee{{
				Name: "shape", Grace: time.Second, Shape: model.Shape{Tasks: 1 + i%4, GPUs: 8, Adjacent: model.SameRack},
			}},
		})
	}
	return d
}

// BenchmarkParse parses declarations of 4 teams, of the target size of 380 teams and of the largest allowed number.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{4, 380, maxTeams} {
		document, err := Format(declarationOfSize(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(document)))
			for b.Loop() {
				if _, err := Parse(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
