export * from './lib/admission/index.js';
