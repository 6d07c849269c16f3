package resp

import "strconv"

const terminator = "\r\n" // of a header and of a bulk string

// Append appends a message of these elements to b.
func Append(b []byte, elements ...string) []byte {
	b = appendHeader(b, '*', len(elements))
	for _, element := range elements {
		b = append(appendHeader(b, '$', len(element)), element...)
		b = append(b, terminator...)
	}
	return b
}

func appendHeader(b []byte, prefix byte, n int) []byte {
	return append(strconv.AppendInt(append(b, prefix), int64(n), 10), terminator...)
}
