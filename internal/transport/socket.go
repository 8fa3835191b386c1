package transport

import (
	"fmt"
	"net"
	"syscall"
	"unsafe"
)

// rawConn gives access to the socket of a connection, or nil if it has none.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// readSocket and writeSocket make one call on a socket that never blocks, as all sockets of package
// net. The runtime is not told of the call: it would wake its monitor thread for each, to look
// whether the call takes long, which costs a small controller more than the call itself.

func readSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_READ, fd, p)
}

func writeSocket(fd uintptr, p []byte) (int, syscall.Errno) {
	return callSocket(syscall.SYS_WRITE, fd, p)
}

func callSocket(call, fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(call, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		switch errno {
		case 0:
			return int(n), 0
		case syscall.EINTR:
		default:
			return 0, errno
		}
	}
}

// writeAll writes all of p, waiting where the socket takes no more for now.
func writeAll(raw syscall.RawConn, p []byte) (done int, err error) {
	waitErr := raw.Write(func(fd uintptr) bool {
		for done < len(p) {
			n, errno := writeSocket(fd, p[done:])
			if errno == syscall.EAGAIN {
				return false
			}
			if errno != 0 {
				err = errno
				return true
			}
			done += n
		}
		return true
	})
	if err == nil {
		err = waitErr
	}
	if err != nil {
		return done, fmt.Errorf("write: %w", err)
	}
	return done, nil
}
