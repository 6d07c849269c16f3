package resp

import "strconv"

const terminator = "\r\n" // ends headers and bulk strings

// Append appends a message with these elements to b.
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
