package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"
)

// ErrWrongKey means that the peer failed to prove knowledge of the shared key.
var ErrWrongKey = errors.New("the peer does not know the shared key")

const (
	nonceLength      = 32
	handshakeTimeout = 2 * time.Second
	clientLabel      = "client"
	serverLabel      = "server"
)

// proof returns a MAC of both nonces. The label prevents reflection of one side's proof as the
// other's.
func proof(key []byte, label string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

// handshakeClient performs mutual authentication by the shared key, before the first message.
func handshakeClient(conn net.Conn, key []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	mine := make([]byte, nonceLength)
	_, _ = rand.Read(mine)
	if _, err := conn.Write(mine); err != nil {
		return err
	}
	theirs := make([]byte, nonceLength)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, clientLabel, mine, theirs)); err != nil {
		return err
	}
	return readProof(conn, proof(key, serverLabel, mine, theirs))
}

// handshakeServer is the server side of handshakeClient.
func handshakeServer(conn net.Conn, key []byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	theirs := make([]byte, nonceLength)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	mine := make([]byte, nonceLength)
	_, _ = rand.Read(mine)
	if _, err := conn.Write(mine); err != nil {
		return err
	}
	if err := readProof(conn, proof(key, clientLabel, theirs, mine)); err != nil {
		return err
	}
	_, err := conn.Write(proof(key, serverLabel, theirs, mine))
	return err
}

func readProof(conn net.Conn, want []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return ErrWrongKey
	}
	return nil
}
