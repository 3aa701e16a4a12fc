package meter

import (
	"math"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
)

// Summary holds the percentiles of one histogram, in seconds.
type Summary struct {
	// Metric is waiting, service or completion.
	Metric string `json:"metric"`
	// By is the label, team or class; Name is its value.
	By    string  `json:"by"`
	Name  string  `json:"name"`
	Count uint64  `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Summaries returns the percentiles of all histograms, ordered by metric, label and label value. A percentile is
// reported as the upper bound of its bucket, so it is never too low.
func (m *Meter) Summaries() ([]Summary, error) {
	if m == nil {
		return nil, nil
	}
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var out []Summary
	for _, family := range families {
		if family.GetType() != dto.MetricType_HISTOGRAM {
			continue
		}
		name := strings.TrimSuffix(strings.TrimPrefix(family.GetName(), "wagtailhoist_"), "_seconds")
		metric, by, _ := strings.Cut(name, "_")
		for _, sample := range family.GetMetric() {
			s := Summary{Metric: metric, By: by, Count: sample.GetHistogram().GetSampleCount()}
			for _, label := range sample.GetLabel() {
				s.Name = label.GetValue()
			}
			s.P50 = percentile(sample.GetHistogram(), 0.50)
			s.P95 = percentile(sample.GetHistogram(), 0.95)
			s.P99 = percentile(sample.GetHistogram(), 0.99)
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Metric != b.Metric {
			return a.Metric < b.Metric
		}
		if a.By != b.By {
			return a.By < b.By
		}
		return a.Name < b.Name
	})
	return out, nil
}

// percentile returns the upper bound of the bucket that contains the given quantile (0 to 1) of the samples. Samples above
// the last bucket are reported as its bound.
func percentile(h *dto.Histogram, quantile float64) float64 {
	rank := uint64(math.Ceil(quantile * float64(h.GetSampleCount())))
	var last float64
	for _, b := range h.GetBucket() {
		if math.IsInf(b.GetUpperBound(), 1) {
			break
		}
		last = b.GetUpperBound()
		if b.GetCumulativeCount() >= rank {
			return last
		}
	}
	return last
}
