package schema

// Count is the number of elements of a JSON array, which are counted instead of decoded: an array may take many times the memory of
// its text.
type Count int

// UnmarshalJSON counts the elements. Of a member that occurs twice, it keeps the larger number.
func (n *Count) UnmarshalJSON(array []byte) error {
	*n = max(*n, Count(countElements(array)))
	return nil
}

// countElements returns the number of commas between the elements of a valid JSON array, plus one.
func countElements(array []byte) int {
	n, depth, quoted := 1, 0, false
	for i := 0; i < len(array); i++ {
		switch c := array[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			n++
		}
	}
	return n
}
