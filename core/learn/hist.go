package learn

import "math"

const (
	// bins is the number of bins of a histogram. Their width of 0.125 tells run times apart by 13 %, and 48 of them cover
	// twenty times less to twenty times more than expected.
	bins     = 48
	binWidth = 0.125
	// lowest is the logarithm at which the first bin begins.
	lowest = -bins * binWidth / 2
)

// histogram holds the weights of logarithms of actual by expected run time.
type histogram [bins]float32

// binOf returns the bin of a logarithm. Values outside of the range belong to the first or last bin.
func binOf(z float64) int { return int(max(0, min(bins-1, (z-lowest)/binWidth))) }

// add adds weight at a logarithm.
func (h *histogram) add(z, weight float64) { h[binOf(z)] += float32(weight) }

// addAbove spreads weight over the bins above a logarithm in proportion to a distribution. It is for runs of which only the
// least duration is known.
func (h *histogram) addAbove(z, weight float64, of *histogram) {
	first := binOf(z)
	sum := 0.0
	for _, w := range of[first:] {
		sum += float64(w)
	}
	if sum <= 0 {
		h[first] += float32(weight)
		return
	}
	for i := first; i < bins; i++ {
		h[i] += float32(weight * float64(of[i]) / sum)
	}
}

// scale multiplies all weights.
func (h *histogram) scale(factor float64) {
	for i := range h {
		h[i] *= float32(factor)
	}
}

// total returns the sum of the weights.
func (h *histogram) total() float64 {
	sum := 0.0
	for _, w := range h {
		sum += float64(w)
	}
	return sum
}

// above returns the weight above a logarithm.
func (h *histogram) above(z float64) float64 {
	position := (z - lowest) / binWidth
	if position < 0 {
		return h.total()
	}
	if position >= bins {
		return 0
	}
	first := int(position)
	sum := float64(h[first]) * (1 - (position - float64(first)))
	for _, w := range h[first+1:] {
		sum += float64(w)
	}
	return sum
}

// meanAbove returns the mean of the weight above a logarithm, or the logarithm itself if there is none.
func (h *histogram) meanAbove(z float64) float64 {
	sum, weights := 0.0, 0.0
	for i := binOf(z); i < bins; i++ {
		middle := lowest + binWidth*(float64(i)+0.5)
		if middle > z {
			sum += float64(h[i]) * middle
			weights += float64(h[i])
		}
	}
	if weights <= 0 {
		return z
	}
	return sum / weights
}

// quantileAbove returns the logarithm below which a share of the weight above z lies. It returns false if there is hardly any
// weight above z.
func (h *histogram) quantileAbove(z, share float64) (float64, bool) {
	all := h.above(z)
	if all <= minWeightAbove*h.total() {
		return 0, false
	}
	left := share * all
	position := max(0, (z-lowest)/binWidth)
	for i := int(position); i < bins; i++ {
		from := max(0, position-float64(i))
		w := float64(h[i]) * (1 - from)
		if w >= left && w > 0 {
			return lowest + binWidth*(float64(i)+from+(1-from)*left/w), true
		}
		left -= w
	}
	return lowest + binWidth*bins, true
}

// minWeightAbove is the share of a distribution below which its tail is too thin to tell anything.
const minWeightAbove = 1e-6

// priorSpread is the standard deviation of the logarithm that is assumed before there are samples. A run that has taken as
// long as expected is then expected to go on for a quarter of that time.
const priorSpread = 0.35

// prior is the distribution that is assumed before there are samples, with a total weight of 1.
var prior = func() (h histogram) {
	sum := 0.0
	var weights [bins]float64
	for i := range weights {
		z := (lowest + binWidth*(float64(i)+0.5)) / priorSpread
		weights[i] = math.Exp(-z * z / 2)
		sum += weights[i]
	}
	for i := range h {
		h[i] = float32(weights[i] / sum)
	}
	return h
}()
