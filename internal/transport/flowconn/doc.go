// Package flowconn provides a net.PacketConn through which a QUIC server exchanges
// packets with the callers of one service address, whichever balancers forward them.
package flowconn
