// Package clientload holds a test only: it plays loads of misbehaving clients
// against a node process and checks its memory and descriptors.
package clientload
