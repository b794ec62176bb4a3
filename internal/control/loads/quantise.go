package loads

import "math"

// quantiseBase is the ratio of neighbouring steps. It bounds the error to 4%.
const quantiseBase = 1.08

// quantise maps a count of up to 2^27 to a byte on a logarithmic scale. Small
// counts are exact.
func quantise(v int) byte {
	if v <= 0 {
		return 0
	}
	step := math.Round(math.Log1p(float64(v)*(quantiseBase-1)) / math.Log(quantiseBase))
	return byte(min(step, math.MaxUint8))
}

// dequantise returns the count that a quantised step stands for.
func dequantise(b byte) int {
	return int(math.Round((math.Pow(quantiseBase, float64(b)) - 1) / (quantiseBase - 1)))
}

// quantiseShare returns part as a share of whole, in units of 1/255.
func quantiseShare(part, whole int) byte {
	if whole <= 0 {
		return 0
	}
	return byte(min(max(part, 0)*math.MaxUint8/whole, math.MaxUint8))
}

// expandSequence returns the sequence number nearest to known whose low 16 bits
// are low, by serial number arithmetic (RFC 1982).
func expandSequence(low uint16, known uint64) uint64 {
	ahead := int16(low - uint16(known))
	if ahead < 0 && uint64(-int64(ahead)) > known {
		return known + uint64(uint16(ahead))
	}
	return known + uint64(int64(ahead))
}
