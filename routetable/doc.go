// Package routetable holds the routes that operators publish: which service a
// request goes to by host and path, and what its operator allows for it. It is
// pure.
package routetable
