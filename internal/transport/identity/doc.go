// Package identity authenticates processes to each other by mutual TLS. Certificates
// are issued by the fleet's certificate authorities; Reload applies changed files.
package identity
