package standin

import "fmt"

// MalformedResponses returns bytes that are no response in HTTP/1.1, or of which it is in
// doubt where they end, by what is wrong. They bear the id of a request and a signature.
func MalformedResponses(id string) map[string]string {
	names := fmt.Sprintf("X-Id: %s\r\nX-Signature: s\r\n", id)
	const body, length, chunked, chunks = "hello", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"
	forged := "HTTP/1.1 200 OK\r\n" + names + length + "\r\n" + body
	responses := map[string]string{
		"status 000 before a response": "HTTP/1.1 000 None\r\n" + names + "\r\n" + forged,
		"interim response with a body": fmt.Sprintf("HTTP/1.1 100 Continue\r\n%sContent-Length: %d\r\n\r\n%s", names, len(forged), forged),
		"interim response with chunks": "HTTP/1.1 103 Early Hints\r\n" + names + chunked + "\r\n" + forged,
		"length beside chunks":         "HTTP/1.1 200 OK\r\n" + names + length + chunked + "\r\n" + chunks,
		"two lengths":                  "HTTP/1.1 200 OK\r\n" + names + length + "Content-Length: 3\r\n\r\n" + body,
		"chunks of HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + names + chunked + "\r\n" + chunks,
		"space before a colon":         "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"HTTP/2.0":                     "HTTP/2.0 200 OK\r\n" + names + length + "\r\n" + body,
		"204 with a length":            "HTTP/1.1 204 No Content\r\n" + names + length + "\r\n" + body,
		"204 with chunks":              "HTTP/1.1 204 No Content\r\n" + names + chunked + "\r\n" + chunks,
	}
	for _, status := range []string{"000", "099", "101", "199999", "600", "999", "+20", "-20", "20", "2x0"} {
		responses["status "+status] = fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s%s\r\n%s", status, names, length, body)
	}
	return responses
}
