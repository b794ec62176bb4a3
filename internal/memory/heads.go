package memory

const (
	plainHead   = 4 << 10 // bytes of a head that a connection's own buffers hold
	headCost    = 4       // bytes held for each byte of a larger head, which is copied
	plainFields = 64      // of a head, that a connection's own memory covers
	fieldBytes  = 256     // each field of a head with more: its name, value and place in two maps
)

// HeadBytes returns the memory that a head of n bytes takes beside its connection.
func HeadBytes(n int64) int64 {
	if n <= plainHead {
		return 0
	}
	return headCost * n
}

// FieldBytes returns the memory that the n fields of a head take beside its bytes.
func FieldBytes(n int) int64 {
	if n <= plainFields {
		return 0
	}
	return fieldBytes * int64(n)
}
