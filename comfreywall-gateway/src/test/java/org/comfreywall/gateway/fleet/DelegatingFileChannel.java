package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * A file channel that delegates to another one, for tests that make a disk fail.
 */
abstract class DelegatingFileChannel extends FileChannel {

	private final FileChannel real;

	DelegatingFileChannel(FileChannel real) {
		this.real = real;
	}

	FileChannel real() {
		return this.real;
	}

	/**
	 * Called before each write.
	 * @param bytes the bytes to write, which must not be consumed
	 * @throws IOException if the write is refused
	 */
	abstract void beforeWrite(ByteBuffer bytes) throws IOException;

	@Override
	public int write(ByteBuffer bytes) throws IOException {
		beforeWrite(bytes);
		return this.real.write(bytes);
	}

	@Override
	public int write(ByteBuffer bytes, long position) throws IOException {
		beforeWrite(bytes);
		return this.real.write(bytes, position);
	}

	@Override
	public long write(ByteBuffer[] bytes, int offset, int length) throws IOException {
		beforeWrite(ByteBuffer.allocate(0));
		return this.real.write(bytes, offset, length);
	}

	@Override
	public int read(ByteBuffer bytes) throws IOException {
		return this.real.read(bytes);
	}

	@Override
	public int read(ByteBuffer bytes, long position) throws IOException {
		return this.real.read(bytes, position);
	}

	@Override
	public long read(ByteBuffer[] bytes, int offset, int length) throws IOException {
		return this.real.read(bytes, offset, length);
	}

	@Override
	public long position() throws IOException {
		return this.real.position();
	}

	@Override
	public FileChannel position(long position) throws IOException {
		this.real.position(position);
		return this;
	}

	@Override
	public long size() throws IOException {
		return this.real.size();
	}

	@Override
	public FileChannel truncate(long size) throws IOException {
		this.real.truncate(size);
		return this;
	}

	@Override
	public long transferTo(long position, long count, WritableByteChannel target) throws IOException {
		return this.real.transferTo(position, count, target);
	}

	@Override
	public long transferFrom(ReadableByteChannel source, long position, long count) throws IOException {
		return this.real.transferFrom(source, position, count);
	}

	@Override
	public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
		return this.real.map(mode, position, size);
	}

	@Override
	public FileLock lock(long position, long size, boolean shared) throws IOException {
		return this.real.lock(position, size, shared);
	}

	@Override
	public FileLock tryLock(long position, long size, boolean shared) throws IOException {
		return this.real.tryLock(position, size, shared);
	}

	@Override
	protected void implCloseChannel() throws IOException {
		this.real.close();
	}

}
