// Package examples holds the settings and policies of two customers.
package examples
