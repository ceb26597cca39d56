// Package flowconn gives a QUIC server the packets of one service address as a
// net.PacketConn, whichever balancers carried them.
package flowconn
