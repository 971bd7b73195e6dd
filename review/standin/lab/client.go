package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client is a client's connection to the node of its machine.
type Client struct {
	lab  *Lab
	conn net.Conn
	in   *bufio.Reader
}

// Dial opens a connection to a node.
func (n *Node) Dial() (*Client, error) {
	conn, err := net.DialTimeout("tcp", n.Outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{lab: n.lab, conn: conn, in: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Request is one attempt of a client.
type Request struct {
	Method, Path, ID string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Body is sent in chunks if Chunked is set, else with its length.
	Body    string
	Chunked bool
}

// Answer is what a client got for a request.
type Answer struct {
	Status int
	// ID is the request that the answer names.
	ID string
	// Signed reports whether the answer has the signature of the upstream, and
	// Whole whether it is complete and is that of the request.
	Signed, Whole bool
	// Err is why there is no complete answer. Malformed reports whether the bytes
	// are no answer in the protocol.
	Err       error
	Malformed bool
	At        time.Time
}

// String describes the answer in the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer: %v", a.Err)
	}
	return fmt.Sprintf("status %d for %s, signed %v, whole %v", a.Status, a.ID, a.Signed, a.Whole)
}

// Do sends a request and reads its answer.
func (c *Client) Do(r Request) Answer {
	if err := c.Send(r); err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	return c.Receive(r)
}

// Send sends a request.
func (c *Client) Send(r Request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		r.Method, r.Path, Host, names.AttemptID, r.ID, names.Deadline, r.Deadline.Milliseconds())
	switch {
	case r.Chunked:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.Body), r.Body)
	case r.Body != "":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	default:
		head += "\r\n"
	}
	c.lab.Logf("client: sends %s %s %s", r.Method, r.Path, r.ID)
	_, err := c.conn.Write([]byte(head))
	return err
}

// receiveSlack is how long after its deadline a client still reads.
const receiveSlack = 2 * time.Second

// Receive reads the answer to a request.
func (c *Client) Receive(r Request) Answer {
	a := c.receive(r)
	a.At = time.Now()
	c.lab.Logf("client: %s: %v", r.ID, a)
	return a
}

func (c *Client) receive(r Request) Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.Deadline + receiveSlack))
	for {
		res, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{Err: err, Malformed: malformed(err)}
		}
		if res.StatusCode < http.StatusOK {
			c.lab.Logf("client: %s: interim response with status %d", r.ID, res.StatusCode)
			continue // the final response follows an interim one
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return Answer{Status: res.StatusCode, Err: err}
		}
		id := res.Header.Get(names.AttemptID)
		return Answer{
			Status: res.StatusCode, ID: id, Signed: res.Header.Get(names.Signature) == signature(r.ID),
			Whole: strings.HasPrefix(string(body), r.ID) && id == r.ID,
		}
	}
}

// malformed reports whether an error is about the bytes of a response, not about
// their connection.
func malformed(err error) bool {
	var ne net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &ne)
}

const serviceTimeout = 30 * time.Second

// AwaitService sends requests to a path until each node answers one with 200.
func AwaitService(path string, nodes ...*Node) error {
	for _, n := range nodes {
		for k, end := 0, time.Now().Add(serviceTimeout); ; k++ {
			c, err := n.Dial()
			if err != nil {
				return err
			}
			a := c.Do(Request{Method: http.MethodGet, Path: path, ID: fmt.Sprintf("first-%s-%d", n.Name, k), Deadline: 4 * time.Second})
			c.Close()
			if a.Status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s: %v", n.Name, path, a)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
