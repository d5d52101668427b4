package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.StandardOpenOption;
import java.nio.file.WatchService;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A view of a folder on a real disk whose writes can be refused, as on a full disk. Files
 * are read and deleted as usual then.
 */
final class FaultyDisk {

	private static final String NO_SPACE = "No space left on device";

	private final FullFileSystem files;

	private final AtomicLong writes = new AtomicLong();

	private volatile long allowedWrites = Long.MAX_VALUE;

	private volatile boolean refusesSync;

	FaultyDisk(Path folder) {
		this.files = new FullFileSystem(new FullProvider(folder.getFileSystem().provider()), folder.getFileSystem());
	}

	/**
	 * Returns a path on this disk.
	 * @param real the path on the real disk
	 * @return the path; all paths derived from it are on this disk as well
	 */
	Path path(Path real) {
		return (Path) Proxy.newProxyInstance(FaultyDisk.class.getClassLoader(), new Class<?>[] { Path.class },
				new PathHandler(real));
	}

	/**
	 * Refuses all writes that come after some more.
	 * @param more the number of writes that still succeed
	 */
	void fillUpAfter(long more) {
		this.allowedWrites = this.writes.get() + more;
	}

	/** Accepts writes but refuses syncs, as a full disk does that allocates late. */
	void refuseSyncs() {
		this.refusesSync = true;
	}

	/** Accepts writes and syncs again. */
	void makeRoom() {
		this.allowedWrites = Long.MAX_VALUE;
		this.refusesSync = false;
	}

	/**
	 * Returns the number of writes that were tried.
	 * @return the count
	 */
	long writes() {
		return this.writes.get();
	}

	/**
	 * Returns whether the next write is refused.
	 * @return {@code true} if the disk is full
	 */
	boolean isFull() {
		return this.writes.get() >= this.allowedWrites;
	}

	private void countWrite() throws IOException {
		boolean full = isFull();
		this.writes.incrementAndGet();
		if (full) {
			throw new IOException(NO_SPACE);
		}
	}

	private static Path real(Path path) {
		boolean wrapped = Proxy.isProxyClass(path.getClass());
		return wrapped ? ((PathHandler) Proxy.getInvocationHandler(path)).real : path;
	}

	/** Delegates to a real path and wraps the paths that it returns. */
	private final class PathHandler implements InvocationHandler {

		private final Path real;

		private PathHandler(Path real) {
			this.real = real;
		}

		@Override
		public Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
			if (method.getName().equals("getFileSystem")) {
				return FaultyDisk.this.files;
			}
			Object[] unwrapped = (arguments != null) ? arguments.clone() : new Object[0];
			for (int i = 0; i < unwrapped.length; i++) {
				if (unwrapped[i] instanceof Path path) {
					unwrapped[i] = real(path);
				}
			}
			try {
				Object result = method.invoke(this.real, unwrapped);
				return (result instanceof Path path) ? path(path) : result;
			}
			catch (InvocationTargetException ex) {
				throw ex.getCause();
			}
		}

	}

	/** File system that only names its provider. */
	private static final class FullFileSystem extends FileSystem {

		private final FullProvider provider;

		private final FileSystem real;

		private FullFileSystem(FullProvider provider, FileSystem real) {
			this.provider = provider;
			this.real = real;
			provider.files = this;
		}

		@Override
		public FileSystemProvider provider() {
			return this.provider;
		}

		@Override
		public void close() {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isOpen() {
			return true;
		}

		@Override
		public boolean isReadOnly() {
			return false;
		}

		@Override
		public String getSeparator() {
			return this.real.getSeparator();
		}

		@Override
		public Iterable<Path> getRootDirectories() {
			return this.real.getRootDirectories();
		}

		@Override
		public Iterable<FileStore> getFileStores() {
			return this.real.getFileStores();
		}

		@Override
		public Set<String> supportedFileAttributeViews() {
			return this.real.supportedFileAttributeViews();
		}

		@Override
		public Path getPath(String first, String... more) {
			return this.real.getPath(first, more);
		}

		@Override
		public PathMatcher getPathMatcher(String pattern) {
			return this.real.getPathMatcher(pattern);
		}

		@Override
		public UserPrincipalLookupService getUserPrincipalLookupService() {
			return this.real.getUserPrincipalLookupService();
		}

		@Override
		public WatchService newWatchService() throws IOException {
			return this.real.newWatchService();
		}

	}

	/** Delegates to the real provider and refuses writes while the disk is full. */
	private final class FullProvider extends FileSystemProvider {

		private final FileSystemProvider real;

		private FileSystem files;

		private FullProvider(FileSystemProvider real) {
			this.real = real;
		}

		@Override
		public FileChannel newFileChannel(Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
				throws IOException {
			boolean creates = options.contains(StandardOpenOption.CREATE)
					|| options.contains(StandardOpenOption.CREATE_NEW);
			if (creates && !real(path).toFile().exists()) {
				countWrite();
			}
			return new FullChannel(this.real.newFileChannel(real(path), options, attributes));
		}

		@Override
		public SeekableByteChannel newByteChannel(Path path, Set<? extends OpenOption> options,
				FileAttribute<?>... attributes) throws IOException {
			return newFileChannel(path, options, attributes);
		}

		@Override
		public DirectoryStream<Path> newDirectoryStream(Path folder, DirectoryStream.Filter<? super Path> filter)
				throws IOException {
			DirectoryStream<Path> entries = this.real.newDirectoryStream(real(folder), (entry) -> filter.accept(entry));
			return new DirectoryStream<>() {

				@Override
				public Iterator<Path> iterator() {
					Iterator<Path> paths = entries.iterator();
					return new Iterator<>() {

						@Override
						public boolean hasNext() {
							return paths.hasNext();
						}

						@Override
						public Path next() {
							return path(paths.next());
						}

					};
				}

				@Override
				public void close() throws IOException {
					entries.close();
				}

			};
		}

		@Override
		public void createDirectory(Path folder, FileAttribute<?>... attributes) throws IOException {
			this.real.createDirectory(real(folder), attributes);
		}

		@Override
		public void delete(Path path) throws IOException {
			this.real.delete(real(path));
		}

		@Override
		public void copy(Path source, Path target, CopyOption... options) throws IOException {
			throw new UnsupportedOperationException();
		}

		@Override
		public void move(Path source, Path target, CopyOption... options) throws IOException {
			countWrite();
			this.real.move(real(source), real(target), options);
		}

		@Override
		public boolean isSameFile(Path first, Path second) throws IOException {
			return this.real.isSameFile(real(first), real(second));
		}

		@Override
		public boolean isHidden(Path path) throws IOException {
			return this.real.isHidden(real(path));
		}

		@Override
		public FileStore getFileStore(Path path) throws IOException {
			return this.real.getFileStore(real(path));
		}

		@Override
		public void checkAccess(Path path, AccessMode... modes) throws IOException {
			this.real.checkAccess(real(path), modes);
		}

		@Override
		public <V extends FileAttributeView> V getFileAttributeView(Path path, Class<V> type, LinkOption... options) {
			return this.real.getFileAttributeView(real(path), type, options);
		}

		@Override
		public <A extends BasicFileAttributes> A readAttributes(Path path, Class<A> type, LinkOption... options)
				throws IOException {
			return this.real.readAttributes(real(path), type, options);
		}

		@Override
		public Map<String, Object> readAttributes(Path path, String attributes, LinkOption... options)
				throws IOException {
			return this.real.readAttributes(real(path), attributes, options);
		}

		@Override
		public void setAttribute(Path path, String attribute, Object value, LinkOption... options) throws IOException {
			this.real.setAttribute(real(path), attribute, value, options);
		}

		@Override
		public String getScheme() {
			return "full";
		}

		@Override
		public FileSystem newFileSystem(URI uri, Map<String, ?> environment) {
			throw new UnsupportedOperationException();
		}

		@Override
		public FileSystem getFileSystem(URI uri) {
			return this.files;
		}

		@Override
		public Path getPath(URI uri) {
			return path(this.real.getPath(uri));
		}

	}

	/** Delegates to a real file; a write that is refused may have written a part. */
	private final class FullChannel extends DelegatingFileChannel {

		private FullChannel(FileChannel real) {
			super(real);
		}

		@Override
		void beforeWrite(java.nio.ByteBuffer bytes) throws IOException {
			if (isFull() && bytes.remaining() > 1) {
				// The last free block takes a part.
				java.nio.ByteBuffer part = bytes.slice(bytes.position(), bytes.remaining() / 2);
				real().write(part);
			}
			countWrite();
		}

		@Override
		public void force(boolean metadata) throws IOException {
			if (FaultyDisk.this.refusesSync) {
				throw new IOException(NO_SPACE);
			}
			real().force(metadata);
		}

	}

}
